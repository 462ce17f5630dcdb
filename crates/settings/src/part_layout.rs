/// Maximum number of consecutive comment lines across the boundary of two parts. The YAML
/// library fails on 32 between a key and its value.
const MAX_COMMENT_RUN: u32 = 30;

/// Layout of a part (one of the consecutive pieces of a text) at its boundaries, which decides
/// how it joins its neighbours.
///
/// A section is a top-level key with its value, an entry a key at indentation 2 within it.
/// Only a part whose entries all start and end within it has a layout. A scan of its
/// characters decides that: between two lines at indentation 0 or 2, no YAML construct may
/// be open except the mapping of the last section.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartLayout {
    /// Number of blank lines and comment lines.
    pub(crate) comments: u32,
    /// Whether the last line is complete.
    pub(crate) ends_with_newline: bool,
    /// Number of blank lines and comment lines before the first content.
    head_comments: u32,
    pub(crate) lines: u32,
    /// Whether the value of the last section is on the lines after its key. `None` if no
    /// section starts in the part.
    pub(crate) last_section_open: Option<bool>,
    /// Whether the first content is an entry of a section that starts in an earlier part.
    /// `None` if the part has no content.
    pub(crate) starts_in_section: Option<bool>,
    /// Number of blank lines and comment lines after the last content.
    tail_comments: u32,
}

impl PartLayout {
    /// Returns the layout of a part, or `None` if it must be parsed with its neighbours.
    pub(crate) fn of(text: &str) -> Option<Self> {
        if text.chars().any(is_special) {
            return None;
        }
        let mut layout = Self {
            ends_with_newline: text.ends_with('\n'),
            lines: text.bytes().filter(|it| *it == b'\n').count() as u32,
            ..Self::default()
        };
        let mut after_section_key = true;
        let mut bracket_depth = 0;
        for line in text.lines() {
            let content = line.trim_start_matches(' ');
            if content.is_empty() || content.starts_with('#') {
                layout.comments += 1;
                layout.tail_comments += 1;
                continue;
            }
            if layout.starts_in_section.is_none() {
                layout.head_comments = layout.tail_comments;
            }
            layout.tail_comments = 0;
            let indent = line.len() - content.len();
            if indent <= 2 {
                let value =
                    value_after_key(content).filter(|_| bracket_depth == 0 && indent != 1)?;
                if indent == 0 {
                    layout.last_section_open = Some(value.is_empty() || value.starts_with('#'));
                }
                layout.starts_in_section.get_or_insert(indent == 2);
            } else if after_section_key {
                // The entries of a section must be at indentation 2; otherwise a part
                // that continues the section at indentation 2 would seem to fit, although YAML
                // rejects the change of indentation.
                return None;
            }
            after_section_key = indent == 0;
            bracket_depth = bracket_depth_after(content, bracket_depth)?;
        }
        (bracket_depth == 0).then_some(layout)
    }

    /// Returns the number of consecutive comment lines at the end of the part, given the
    /// number before it. Returns `None` if the YAML library may reject that many.
    pub(crate) const fn comment_run(&self, before: u32) -> Option<u32> {
        let (run, after) = match self.starts_in_section {
            None => (before + self.comments, before + self.comments),
            Some(_) => (before + self.head_comments, self.tail_comments),
        };
        // A run that starts in this part was accepted when the part was parsed alone.
        if run > MAX_COMMENT_RUN && before > 0 || after > MAX_COMMENT_RUN {
            return None;
        }
        Some(after)
    }
}

/// Whether YAML treats the character as a line break or otherwise specially.
fn is_special(it: char) -> bool {
    it != '\n' && (it.is_control() || matches!(it, '\u{2028}' | '\u{2029}' | '\u{feff}'))
}

/// Returns the text after the key and its colon, or `None` if the line does not start with
/// a plain key.
fn value_after_key(content: &str) -> Option<&str> {
    let (key, value) = content.split_once(':')?;
    let plain = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_');
    let fits = key.bytes().all(plain) && !key.is_empty() && !key.starts_with('-');
    let spaced = value.is_empty() || value.starts_with(' ');
    (fits && spaced).then(|| value.trim_start_matches(' '))
}

/// Returns the number of open brackets after a line. Returns `None` if the line has syntax
/// that this scan does not support, such as anchors, tags, block scalars and quoted text
/// over several lines.
fn bracket_depth_after(line: &str, mut bracket_depth: u32) -> Option<u32> {
    let mut before = b' ';
    let mut rest = line.as_bytes();
    while let [it, after @ ..] = rest {
        rest = after;
        match it {
            b'#' if before == b' ' => return Some(bracket_depth),
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
            b'[' | b'{' => bracket_depth += 1,
            b']' | b'}' => bracket_depth = bracket_depth.checked_sub(1)?,
            b'"' | b'\'' | b'&' | b'*' | b'!' | b'|' | b'>' | b'%' | b'@' | b'`' | b'?' => {
                return None;
            }
            _ => {}
        }
        before = *it;
    }
    Some(bracket_depth)
}
