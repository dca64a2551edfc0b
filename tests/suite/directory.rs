//! Tests of `hemlockfield::directory`.
