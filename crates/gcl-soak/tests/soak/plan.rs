use gcl_soak::plan::{Fault, Size, draw};
use std::time::Duration;

const SIZE: Size = Size { daemons: 3, servers: 3, faults: 200, returns: 0 };

#[test]
fn a_seed_draws_the_same_faults() {
    assert_eq!(draw(7, SIZE), draw(7, SIZE));
    assert_ne!(draw(7, SIZE), draw(8, SIZE));
}

#[test]
fn faults_overlap_but_one_server_at_a_time_is_lost() {
    for seed in 0..50 {
        let plan = draw(seed, SIZE);
        assert_eq!(plan.len(), SIZE.faults);
        assert!(plan.is_sorted_by_key(|step| step.at));
        assert!(plan.windows(2).any(|pair| pair[1].at < pair[0].at + pair[0].length));
        let lost = plan.iter().filter(|it| matches!(it.fault, Fault::Crash(_) | Fault::Isolate));
        let mut well = Duration::ZERO;
        for step in lost {
            assert!(step.at >= well, "seed {seed}: two servers are lost at {:?}", step.at);
            well = step.at + step.length;
        }
    }
}
