//! Damaged seeds and plain noise through each decoder.

use proptest::arbitrary::any;
use proptest::collection::vec;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestRunner;
use rstest::rstest;

use super::corpus;
use super::decoders::decode;

/// Runs of each decoder in the bounded test.
const RUNS: u32 = 1_500;

/// Change of a seed: what, where, and with what.
type Damage = (u8, u16, u16);

/// The seed with all damage done; without a seed, plain noise.
fn damaged(mut bytes: Vec<u8>, damage: &[Damage]) -> Vec<u8> {
    for (what, place, with) in damage {
        let length = bytes.len();
        let place = usize::from(*place) % (length + 1);
        let end = (place + usize::from(*with) % 64).min(length);
        let [low, high] = with.to_le_bytes();
        match what % 8 {
            0 if place < length => bytes[place] ^= 1 << (with % 8),
            1 if place < length => bytes[place] = low,
            2 => bytes.insert(place, low),
            3 => drop(bytes.drain(place..end)),
            4 => bytes.truncate(place),
            5 => {
                let copy = bytes[place..end].to_vec();
                bytes.splice(place..place, copy);
            }
            // A length, as a codec writes it, that is far beyond what follows.
            6 => drop(bytes.splice(place..end.min(place + 1), [0xFF, 0xFF, 0xFF, low, high])),
            _ => bytes.extend([low, high]),
        }
    }
    bytes
}

fn run(name: &str, seed: u8, damage: &[Damage]) {
    let seeds = corpus::seeds(name);
    let seed = seeds.get(usize::from(seed) % (seeds.len() + 1)).cloned().unwrap_or_default();
    decode(name, &damaged(seed, damage));
}

#[rstest]
fn decode_damaged(
    #[values(
        "announcement",
        "book",
        "event",
        "ledger",
        "log",
        "record",
        "rules",
        "settings",
        "snapshot",
        "trace",
        "wire"
    )]
    name: &str,
) {
    // A disk rots, a link hands on what another version sent, an operator's editor saves
    // half a file: the decoder says so, or takes it for what it then says, and never
    // panics, which would take the process and the traffic with it.
    let config = Config {
        cases: RUNS,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x4e51),
        ..Config::default()
    };
    let damage = vec(any::<Damage>(), 0..6);
    let outcome = TestRunner::new(config).run(&(any::<u8>(), damage), |(seed, damage)| {
        run(name, seed, &damage);
        Ok(())
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}

#[rstest]
#[ignore = "runs for minutes"]
fn decode_long(
    #[values(
        "announcement",
        "book",
        "event",
        "ledger",
        "log",
        "record",
        "rules",
        "settings",
        "snapshot",
        "trace",
        "wire"
    )]
    name: &str,
) {
    let check = bolero::check!().with_type::<(u8, Vec<Damage>)>();
    check.for_each(|(seed, damage)| run(name, *seed, damage));
}

#[rstest]
fn decode_sound(
    #[values(
        "announcement",
        "book",
        "event",
        "ledger",
        "log",
        "record",
        "rules",
        "settings",
        "snapshot",
        "trace",
        "wire"
    )]
    name: &str,
) {
    // The seeds themselves are sound, or the damaged ones would prove little.
    let seeds = corpus::seeds(name);
    assert!(!seeds.is_empty());
    assert!(seeds.iter().all(|seed| decode(name, seed)));
}
