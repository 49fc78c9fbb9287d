//! Flags of the command line.

xflags::xflags! {
    /// Simulation and model checking of corktack's core.
    cmd corktack-sim {
        /// Explore the specifications exhaustively.
        cmd model {
            /// Explore this deliberately broken variant and print its counterexample.
            optional --variant variant: String
            /// Explore within the wider bounds; takes minutes and gigabytes.
            optional --deep
        }
    }
}
