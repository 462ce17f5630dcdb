//! Tests the interval arithmetic from which the coverage of an answer is computed.

use std::collections::BTreeSet;

use proptest::prelude::*;

use wigeonhall_types::KeyRange;
use wigeonhall_types::RangeSet;

const KEY_SPACE: KeyRange = KeyRange { start: 0, end: 64 };

fn ranges() -> impl Strategy<Value = Vec<KeyRange>> {
    let range = (0..64_u64, 0..64_u64).prop_map(|(start, end)| KeyRange { start, end });
    prop::collection::vec(range, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    // Guards against a missed gap or a key that is counted twice, with which an answer would
    // state a wrong coverage.
    #[test]
    fn matches_a_plain_set_of_keys(ranges in ranges()) {
        let set = RangeSet::from_ranges(&ranges);
        let keys: BTreeSet<u64> = ranges.iter().flat_map(|it| it.start..it.end).collect();
        prop_assert_eq!(set.width(), keys.len() as u64);
        for key in KEY_SPACE.start..KEY_SPACE.end {
            prop_assert_eq!(set.contains(key), keys.contains(&key));
        }
        let gaps: BTreeSet<u64> =
            set.gaps(KEY_SPACE).iter().flat_map(|it| it.start..it.end).collect();
        prop_assert!(gaps.iter().all(|key| !keys.contains(key)));
        prop_assert_eq!(gaps.len() + keys.len(), 64);
        prop_assert_eq!(set.covers(KEY_SPACE), gaps.is_empty());
    }
}
