/// Maximum number of names in one range.
const MAX_RANGE_NAMES: u64 = 10_000;

/// Expands `field-01..20` to the names from `field-01` to `field-20`.
///
/// A text without `..` expands to itself. Returns `None` if the range is malformed, is empty
/// or has more than 10,000 names.
pub(crate) fn expand_range(text: &str) -> Option<Vec<String>> {
    let Some((first, last)) = text.split_once("..") else {
        return Some(vec![text.to_owned()]);
    };
    let stem = first.trim_end_matches(|it: char| it.is_ascii_digit());
    let digits = &first[stem.len()..];
    let start = digits.parse::<u64>().ok()?;
    let end = last.parse::<u64>().ok()?;
    if start > end || end - start >= MAX_RANGE_NAMES {
        return None;
    }
    let width = digits.len();
    Some(
        (start..=end)
            .map(|number| format!("{stem}{number:0width$}"))
            .collect(),
    )
}
