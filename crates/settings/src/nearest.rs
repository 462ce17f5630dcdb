/// Returns the known name with the smallest edit distance from `name`.
///
/// Returns `None` if every known name differs in more than a third of the characters.
#[must_use]
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let limit = name.chars().count().div_ceil(3);
    known
        .into_iter()
        .map(|candidate| (distance(name, candidate), candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the optimal string alignment distance: the edit distance in which a swap of two
/// adjacent characters counts as one edit.
fn distance(left: &str, right: &str) -> usize {
    let left = left.chars().collect::<Vec<_>>();
    let right = right.chars().collect::<Vec<_>>();
    let mut two_rows_back = Vec::new();
    let mut previous_row = (0..=right.len()).collect::<Vec<_>>();
    for i in 0..left.len() {
        let mut row = vec![i + 1];
        for j in 0..right.len() {
            let substituted = previous_row[j] + usize::from(left[i] != right[j]);
            let mut best = substituted.min(previous_row[j + 1] + 1).min(row[j] + 1);
            if i > 0 && j > 0 && left[i] == right[j - 1] && left[i - 1] == right[j] {
                best = best.min(two_rows_back[j - 1] + 1);
            }
            row.push(best);
        }
        two_rows_back = previous_row;
        previous_row = row;
    }
    previous_row[right.len()]
}
