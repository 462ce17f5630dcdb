//! Guards the interval arithmetic on which coverage rests.

use std::collections::BTreeSet;

use proptest::prelude::*;

use wigeonhall_types::KeyRange;
use wigeonhall_types::RangeSet;

const SPACE: KeyRange = KeyRange { start: 0, end: 64 };

fn ranges() -> impl Strategy<Value = Vec<KeyRange>> {
    let range = (0..64_u64, 0..64_u64).prop_map(|(start, end)| KeyRange { start, end });
    prop::collection::vec(range, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    // A gap that is missed, or a key that is counted twice, would make an answer
    // claim a wrong coverage.
    #[test]
    fn agrees_with_a_set_of_keys(ranges in ranges()) {
        let set = RangeSet::from_ranges(&ranges);
        let keys: BTreeSet<u64> = ranges.iter().flat_map(|it| it.start..it.end).collect();
        prop_assert_eq!(set.width(), keys.len() as u64);
        for key in SPACE.start..SPACE.end {
            prop_assert_eq!(set.contains(key), keys.contains(&key));
        }
        let gaps: BTreeSet<u64> =
            set.gaps(SPACE).iter().flat_map(|it| it.start..it.end).collect();
        prop_assert!(gaps.iter().all(|key| !keys.contains(key)));
        prop_assert_eq!(gaps.len() + keys.len(), 64);
        prop_assert_eq!(set.covers(SPACE), gaps.is_empty());
    }
}
