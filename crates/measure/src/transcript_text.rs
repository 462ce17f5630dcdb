//! Formats single values for the transcript of a session.

use std::fmt::Write;

use wigeonhall_query::AbsentReason;
use wigeonhall_query::Answer;
use wigeonhall_query::AnswerStatus;
use wigeonhall_query::ClaimOutcome;
use wigeonhall_query::ClaimResult;
use wigeonhall_types::HandOverState;
use wigeonhall_types::IndexVersion;
use wigeonhall_types::KeyRange;
use wigeonhall_types::RampState;
use wigeonhall_types::SubOutcome;
use wigeonhall_types::TargetOutcome;
use wigeonhall_types::TargetReply;
use wigeonhall_types::Verdict;

pub fn duration_text(us: u64) -> String {
    format!("{} ms", us / 1_000)
}

/// Formats a range as percentages of the key space.
pub fn range_text(range: KeyRange) -> String {
    if range == KeyRange::WHOLE {
        return "all keys".to_owned();
    }
    let percent = |key: u64| (key as f64 / KeyRange::WHOLE.end as f64 * 1e3).round() / 1e1;
    if range.width() == 1 {
        return format!("the key at {}%", percent(range.start));
    }
    format!("keys {}-{}%", percent(range.start), percent(range.end))
}

pub fn ranges_text(ranges: &[KeyRange]) -> String {
    let texts: Vec<String> = ranges.iter().map(|it| range_text(*it)).collect();
    texts.join(" and ")
}

pub fn rows_text(ranges: &[KeyRange], rows: usize, version: IndexVersion) -> String {
    let ranges = ranges_text(ranges);
    format!("{rows} rows of {ranges} at version {}", version.0)
}

pub fn outcome_text(outcome: &SubOutcome) -> String {
    match outcome {
        SubOutcome::Answered {
            ranges,
            rows,
            version,
        } => format!("ran: {}", rows_text(ranges, rows.len(), *version)),
        SubOutcome::Failed { reason } => format!("may have run: {}", to_words(reason)),
        SubOutcome::Refused {
            reason,
            retry_after_us,
        } => {
            let reason = to_words(reason);
            let retry_ms = *retry_after_us as f64 / 1e3;
            format!("not run: {reason}, retry after {retry_ms:.1} ms")
        }
        SubOutcome::VersionGone => "not run: version gone".to_owned(),
    }
}

pub fn reply_text(reply: &TargetReply) -> String {
    let outcome = match &reply.outcome {
        TargetOutcome::Answered { ranges, .. } if ranges.is_empty() => "it takes work".to_owned(),
        TargetOutcome::Answered {
            ranges,
            rows,
            version,
        } => format!("ran: {}", rows_text(ranges, rows.len(), *version)),
        TargetOutcome::Shed { .. } => "shed".to_owned(),
        other => to_words(other),
    };
    let served: Vec<String> = reply
        .served
        .iter()
        .map(|it| it.version.0.to_string())
        .collect();
    match reply.instance {
        Some(instance) => {
            let served = served.join(" and ");
            format!("{outcome} (process {instance}, serves versions {served})")
        }
        None => outcome,
    }
}

pub fn hand_over_text(state: &HandOverState) -> String {
    let ramp = match state.ramp {
        RampState::Cold { level, round } => {
            format!("cold at level {level} with {} replies", round.successes)
        }
        RampState::Full => "warm".to_owned(),
        RampState::Reduced { allowance, .. } => format!("reduced to {allowance}"),
    };
    let leaving = if state.leaving { ", leaving" } else { "" };
    let starts: u32 = state.starts.0.iter().sum();
    format!(
        "{ramp}{leaving}, {} still running, {starts} started within 1 s",
        state.running.len()
    )
}

pub fn claim_result_text(result: &ClaimResult) -> String {
    match result {
        ClaimResult::Conflict { held, .. } => {
            let outcome = match held.outcome {
                ClaimOutcome::Open => "open".to_owned(),
                ClaimOutcome::Released => "released".to_owned(),
                ClaimOutcome::Ran(version) => format!("run at version {}", version.0),
            };
            format!("holds a claim of {}, {outcome}", held.request_id)
        }
        ClaimResult::Stored { version } => format!("stored as version {version}"),
        ClaimResult::Unknown => "no reply".to_owned(),
    }
}

pub fn answer_text(answer: &Answer) -> String {
    let verdict = match answer.verdict {
        Verdict::NotRun => "not run",
        Verdict::MayHaveRun => "may have run",
        Verdict::Ran => "ran",
    };
    let mut text = match answer.status {
        AnswerStatus::Whole => format!("whole, {verdict}"),
        AnswerStatus::Partial => format!("partial, {verdict}"),
        AnswerStatus::Failed(reason) => format!("failed ({}), {verdict}", to_words(&reason)),
        AnswerStatus::Refused(reason) => format!("refused ({}), {verdict}", absent_text(reason)),
    };
    if let Some(snapshot) = answer.snapshot {
        let rows = rows_text(&answer.coverage.read, answer.rows.len(), snapshot);
        let _ = write!(text, ", {rows}");
        for it in &answer.coverage.absent {
            let range = range_text(it.range);
            let _ = write!(text, "; {range} absent ({})", absent_text(it.reason));
        }
    }
    if let Some(retry_ms) = answer.retry_after_ms {
        let _ = write!(text, ", retry after {retry_ms} ms");
    }
    text
}

pub fn absent_text(reason: AbsentReason) -> String {
    match reason {
        AbsentReason::Failed(reason) => to_words(&reason),
        AbsentReason::Refused(reason) => to_words(&reason),
        other => to_words(&other),
    }
}

/// Splits the name of an enum variant without fields into lower-case words.
pub fn to_words(value: &impl std::fmt::Debug) -> String {
    let mut text = String::new();
    for letter in format!("{value:?}").chars() {
        if letter.is_uppercase() && !text.is_empty() {
            text.push(' ');
        }
        text.extend(letter.to_lowercase());
    }
    text
}
