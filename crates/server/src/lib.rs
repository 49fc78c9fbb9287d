//! Wires settings, telemetry, control and proxy into processes.
