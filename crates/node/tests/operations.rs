//! Guards against log events and fields that the operations page does not document.

use std::collections::BTreeSet;

const EVENT_SOURCE: &str = include_str!("../../entry/src/process/event.rs");

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the identifier that a source line begins with, if `end` follows it.
fn name_before(line: &str, end: char) -> Option<&str> {
    let (name, _) = line.split_once(end)?;
    let name = name.trim().trim_start_matches("pub(crate) ");
    let is_word = |letter: char| letter.is_ascii_alphanumeric() || letter == '_';
    (!name.is_empty() && name.chars().all(is_word)).then_some(name)
}

fn snake_case(name: &str) -> String {
    let mut text = String::new();
    for letter in name.chars() {
        if letter.is_ascii_uppercase() && !text.is_empty() {
            text.push('_');
        }
        text.push(letter.to_ascii_lowercase());
    }
    text
}

#[test]
fn every_event_and_field_is_documented() {
    let rows: Vec<&str> = OPERATIONS_PAGE
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let mut events = BTreeSet::new();
    let mut fields = BTreeSet::new();
    for line in EVENT_SOURCE
        .lines()
        .filter(|line| !line.trim().starts_with("//"))
    {
        for part in line.split(['{', ',']) {
            if let Some(name) = name_before(part, ':') {
                fields.insert(name.to_owned());
            }
        }
        let name = name_before(line, '{').or_else(|| name_before(line, '('));
        if let Some(name) = name
            && name.starts_with(|letter: char| letter.is_ascii_uppercase())
        {
            events.insert(snake_case(name));
        }
    }
    // Fewer names mean that the source was not parsed correctly.
    assert!(
        events.len() >= 12 && fields.len() > 20,
        "{events:?} {fields:?}"
    );
    for event in events {
        let found = rows
            .iter()
            .any(|row| row.starts_with(&format!("| `{event}`")));
        assert!(found, "event {event} is not on the operations page");
    }
    for field in fields {
        let found = rows.iter().any(|row| row.contains(&format!("`{field}`")));
        assert!(found, "field {field} is not on the operations page");
    }
}
