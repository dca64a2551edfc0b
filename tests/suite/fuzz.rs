//! Tests of every decoder against arbitrary bytes.
//!
//! The bounded run damages the seeds under `tests/corpus` in ways that follow from a
//! fixed seed. A longer one, by bolero, with other damage each time:
//! `BOLERO_RANDOM_ITERATIONS=1000000 cargo test --release --test suite -- --ignored decode_long`.

mod bomb;
mod corpus;
mod decode;
mod decoders;
