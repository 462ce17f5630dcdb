use std::fs;

/// Limits of the own process, as the kernel reports them.
const LIMITS_PATH: &str = "/proc/self/limits";

/// Start of the line with the limit of open descriptors; the soft limit follows.
const LIMIT_LABEL: &str = "Max open files";

/// Returns how many file descriptors the process may open: the least of what the settings and the
/// kernel allow; `None` if neither states a limit.
#[must_use]
pub fn descriptor_limit(settings: Option<usize>) -> Option<usize> {
    settings.into_iter().chain(kernel_limit()).min()
}

fn kernel_limit() -> Option<usize> {
    let text = match fs::read_to_string(LIMITS_PATH) {
        Ok(text) => text,
        Err(error) => {
            log::warn!("cannot read {LIMITS_PATH}: {error}");
            return None;
        }
    };
    let limits = text.lines().find_map(|line| line.strip_prefix(LIMIT_LABEL));
    // "unlimited" is no number.
    limits?.split_whitespace().next()?.parse().ok()
}
