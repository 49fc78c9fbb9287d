//! Command line of corktack.
fn main() {}
