//! The little JSON that a stand-in of the store has to read.

/// Returns the value of a field of an object as it is written; `None` if there is none.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = skip_value(bytes, at);
        let key = &text[at + 1..key_end - 1];
        let colon = skip_space(bytes, key_end);
        let begin = skip_space(bytes, colon + 1);
        let end = skip_value(bytes, begin);
        if key == name {
            return Some(&text[begin..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Returns a text without its quotes; escapes are left as they are.
pub fn text(value: &str) -> &str {
    value.trim_matches('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn skip_value(bytes: &[u8], begin: usize) -> usize {
    let mut at = begin;
    let mut depth = 0;
    loop {
        match bytes.get(at) {
            None => return at,
            Some(b'"') => at = skip_text(bytes, at),
            Some(b'{' | b'[') => depth += 1,
            Some(b'}' | b']') if depth == 0 => return at,
            Some(b'}' | b']') => depth -= 1,
            Some(b',' | b':') if depth == 0 => return at,
            Some(_) => {}
        }
        at += 1;
        if depth == 0 && matches!(bytes[at - 1], b'"' | b'}' | b']') {
            return at;
        }
    }
}

/// Returns the place of the closing quote.
fn skip_text(bytes: &[u8], begin: usize) -> usize {
    let mut at = begin + 1;
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'\\' => at += 2,
            b'"' => return at,
            _ => at += 1,
        }
    }
    at
}
