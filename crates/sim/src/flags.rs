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
        /// Run the core under faults drawn by seed.
        cmd run {
            /// The seeds, FIRST..END without END, or one seed.
            required --seeds seeds: String
            /// Run this deliberately broken variant.
            optional --variant variant: String
            /// Threads to share the seeds; one by default.
            optional --threads threads: usize
            /// Print the report of every seed, not only of those that fail.
            optional --verbose
            /// Print everything that happens.
            optional --trace
        }
        /// Run the limits of tenants over all gateways under faults drawn by seed.
        cmd limits {
            /// The seeds, FIRST..END without END, or one seed.
            required --seeds seeds: String
            /// Run this deliberately broken variant.
            optional --variant variant: String
            /// Threads to share the seeds; one by default.
            optional --threads threads: usize
            /// Print the report of every seed, not only of those that fail.
            optional --verbose
        }
    }
}
