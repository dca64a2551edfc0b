//! The demo of one process.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use hemlockfield::demo::Ports;

// Two processes of the demo draw the same port, and the second one can't listen.
#[rstest]
fn draw_ports_distinct(#[values(1, 2, 3)] seed: u64) {
    let mut ports = Ports::new(StdRng::seed_from_u64(seed));
    let drawn: Vec<_> = (0..500).map(|_| ports.draw().unwrap()).collect();
    let distinct: BTreeSet<_> = drawn.iter().collect();
    assert_eq!(distinct.len(), drawn.len());
}
