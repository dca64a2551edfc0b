//! Open-loop load generator with figures free of coordinated omission.
