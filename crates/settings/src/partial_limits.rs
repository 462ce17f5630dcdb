use crate::reader::Reader;
use crate::reader::field;
use crate::reader::item_line;
use crate::yaml::Entry;
use wigeonhall_types::ColdBound;

/// Keys that are valid in `defaults`, in a shard service and in a replica.
pub(crate) const LIMIT_KEYS: [&str; 4] = ["cold", "connect_us", "connections", "slots"];

/// Maximum of `slots`, `connections` and `requests_per_s`.
const MAX_LIMIT: u64 = 100_000;
/// One minute; the maximum of `connect_us`.
const MAX_CONNECT_US: u64 = 60_000_000;

/// Limits of a replica, of which some may be missing. The `cold` ones bound its load during a
/// cold start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartialLimits {
    pub(crate) cold_requests_per_s: Option<u32>,
    pub(crate) cold_slots: Option<u32>,
    /// Time that the replica takes to accept a new connection.
    pub(crate) connect_us: Option<u64>,
    pub(crate) connections: Option<u32>,
    pub(crate) slots: Option<u32>,
}

/// The complete limits of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Limits {
    pub(crate) cold: ColdBound,
    pub(crate) connect_us: u64,
    pub(crate) connections: u32,
    pub(crate) slots: u32,
}

impl PartialLimits {
    /// Returns the limits given in `entries`, with those of `self` for the ones not given.
    ///
    /// `line` is the line of the mapping that holds `entries`.
    pub(crate) fn overridden_by(self, entries: &[Entry], line: u64, reader: &mut Reader) -> Self {
        let cold = field(entries, "cold");
        let cold_line = cold.map_or(line, item_line);
        let cold = cold.map_or(&[][..], |item| reader.mapping(item, "`cold`"));
        reader.report_unknown_keys(cold, &["requests_per_s", "slots"], "`cold`");
        let mut count = |entries: &[Entry], key: &str| {
            let value = reader.optional_whole_number(entries, key, 1..=MAX_LIMIT);
            value.map(|value| value as u32)
        };
        let given = Self {
            cold_requests_per_s: count(cold, "requests_per_s"),
            cold_slots: count(cold, "slots"),
            connections: count(entries, "connections"),
            slots: count(entries, "slots"),
            connect_us: reader.optional_whole_number(entries, "connect_us", 0..=MAX_CONNECT_US),
        };
        let limits = Self {
            cold_requests_per_s: given.cold_requests_per_s.or(self.cold_requests_per_s),
            cold_slots: given.cold_slots.or(self.cold_slots),
            connect_us: given.connect_us.or(self.connect_us),
            connections: given.connections.or(self.connections),
            slots: given.slots.or(self.slots),
        };
        if given.slots.is_some() || given.cold_slots.is_some() {
            limits.check_cold(cold_line, reader);
        }
        if given.slots.is_some() || given.connections.is_some() {
            limits.check_connections(line, reader);
        }
        limits
    }

    fn check_cold(self, line: u64, reader: &mut Reader) {
        if let (Some(cold), Some(slots)) = (self.cold_slots, self.slots)
            && cold > slots
        {
            reader.error(
                line,
                format!("the cold-start bound allows {cold} slots, but `slots` is {slots}"),
                format!("write a cold `slots` from 1 to {slots}"),
            );
        }
    }

    fn check_connections(self, line: u64, reader: &mut Reader) {
        let (Some(connections), Some(slots)) = (self.connections, self.slots) else {
            return;
        };
        let fix = format!("raise `connections` to {} or lower `slots`", slots + 1);
        if connections < slots {
            let problem =
                format!("{slots} slots need as many connections, but {connections} are allowed");
            reader.error(line, problem, fix);
        } else if connections == slots {
            let problem =
                format!("{connections} connections leave none for cancellations and probes");
            reader.warning(line, problem, fix);
        }
    }

    /// Returns the complete limits, or the keys that are missing.
    pub(crate) fn into_limits(self) -> Result<Limits, Vec<&'static str>> {
        let given = (
            self.cold_requests_per_s,
            self.cold_slots,
            self.connect_us,
            self.connections,
            self.slots,
        );
        if let (
            Some(requests_per_s),
            Some(cold_slots),
            Some(connect_us),
            Some(connections),
            Some(slots),
        ) = given
        {
            return Ok(Limits {
                cold: ColdBound {
                    requests_per_s,
                    slots: cold_slots,
                },
                connect_us,
                connections,
                slots,
            });
        }
        let missing = [
            ("cold.requests_per_s", given.0.is_none()),
            ("cold.slots", given.1.is_none()),
            ("connect_us", given.2.is_none()),
            ("connections", given.3.is_none()),
            ("slots", given.4.is_none()),
        ];
        Err(missing
            .into_iter()
            .filter_map(|(key, missing)| missing.then_some(key))
            .collect())
    }
}
