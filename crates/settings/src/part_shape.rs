/// Most comment lines in a row that a part may share with its neighbours; the YAML
/// library gives up on 32 between a key and its value.
const MAX_COMMENT_RUN: u32 = 30;

/// How the lines of a part meet those of its neighbours.
///
/// Only a part of which every entry starts and ends within it, by its characters alone,
/// has a shape: between two lines at indentation 0 or 2, nothing of YAML is open but
/// the mapping of the last section.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartShape {
    /// Lines without content.
    pub(crate) comments: u32,
    /// Whether the part ends with a line end.
    pub(crate) ended: bool,
    /// Comment lines before the first content.
    head_comments: u32,
    pub(crate) lines: u32,
    /// Whether the last section has its value in the lines after its key; absent if
    /// the part starts no section.
    pub(crate) open: Option<bool>,
    /// Whether the first content is an entry of a section that began before.
    pub(crate) starts_inside: Option<bool>,
    /// Comment lines after the last content.
    tail_comments: u32,
}

impl PartShape {
    /// The shape of a part; `None` if it has to be read with its neighbours.
    pub(crate) fn of(text: &str) -> Option<Self> {
        if text.chars().any(is_special) {
            return None;
        }
        let mut shape = Self {
            ended: text.ends_with('\n'),
            lines: text.bytes().filter(|it| *it == b'\n').count() as u32,
            ..Self::default()
        };
        let mut after_key = true;
        let mut depth = 0;
        for line in text.lines() {
            let content = line.trim_start_matches(' ');
            if content.is_empty() || content.starts_with('#') {
                shape.comments += 1;
                shape.tail_comments += 1;
                continue;
            }
            if shape.starts_inside.is_none() {
                shape.head_comments = shape.tail_comments;
            }
            shape.tail_comments = 0;
            let indent = line.len() - content.len();
            if indent <= 2 {
                let value = value_of(content).filter(|_| depth == 0 && indent != 1)?;
                if indent == 0 {
                    shape.open = Some(value.is_empty() || value.starts_with('#'));
                }
                shape.starts_inside.get_or_insert(indent == 2);
            } else if after_key {
                // The entries of a section are at indentation 2, or a cut within the
                // section could not be told from a change of indentation.
                return None;
            }
            after_key = indent == 0;
            depth = depth_after(content, depth)?;
        }
        (depth == 0).then_some(shape)
    }

    /// Comment lines in a row at the end, given those before the part; `None` if the
    /// YAML library may not take them.
    pub(crate) const fn comment_run(&self, before: u32) -> Option<u32> {
        let (run, after) = match self.starts_inside {
            None => (before + self.comments, before + self.comments),
            Some(_) => (before + self.head_comments, self.tail_comments),
        };
        if run > MAX_COMMENT_RUN && before > 0 || after > MAX_COMMENT_RUN {
            return None;
        }
        Some(after)
    }
}

/// Characters that end lines or that YAML treats in a way of its own.
fn is_special(it: char) -> bool {
    it != '\n' && (it.is_control() || matches!(it, '\u{2028}' | '\u{2029}' | '\u{feff}'))
}

/// What follows the key of a line that starts with a plain key.
fn value_of(content: &str) -> Option<&str> {
    let (key, value) = content.split_once(':')?;
    let plain = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_');
    let fits = key.bytes().all(plain) && !key.is_empty() && !key.starts_with('-');
    let spaced = value.is_empty() || value.starts_with(' ');
    (fits && spaced).then(|| value.trim_start_matches(' '))
}

/// Number of open brackets after a line; `None` if the line holds what this scan does
/// not know, such as anchors, tags, block scalars and quotes over several lines.
fn depth_after(line: &str, mut depth: u32) -> Option<u32> {
    let mut before = b' ';
    let mut rest = line.as_bytes();
    while let [it, after @ ..] = rest {
        rest = after;
        match it {
            b'#' if before == b' ' => return Some(depth),
            b'"' | b'\'' if matches!(before, b' ' | b'[' | b'{' | b',') => {
                let end = rest.iter().position(|other| other == it)?;
                if rest[..end].contains(&b'\\') {
                    return None;
                }
                rest = &rest[end + 1..];
                if !matches!(rest, [] | [b' ' | b',' | b':' | b']' | b'}', ..]) {
                    return None;
                }
            }
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.checked_sub(1)?,
            b'"' | b'\'' | b'&' | b'*' | b'!' | b'|' | b'>' | b'%' | b'@' | b'`' | b'?' => {
                return None;
            }
            _ => {}
        }
        before = *it;
    }
    Some(depth)
}
