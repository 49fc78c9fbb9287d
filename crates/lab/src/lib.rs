//! Stand-ins, fleets, load, faults and reports.
