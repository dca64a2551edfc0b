//! Tests of every decoder against arbitrary bytes.
