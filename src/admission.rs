//! Who is served, who waits and who is refused when the fleet is full.
