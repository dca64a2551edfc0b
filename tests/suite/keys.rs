//! Tests of `hemlockfield::keys`.
