//! Settings files that the tests start from.

/// A proxy's.
pub const PROXY: &str = r#"
name = "proxy-1"
zone = "amba.a"
data_folder = "/var/lib/corktack"
[addresses]
callers = "127.0.0.1:6432"
peers = "127.0.0.1:7001"
telemetry = "127.0.0.1:9101"
[control]
replicas = ["127.0.0.1:7101", "127.0.0.1:7102"]
[authentication]
mode = "trust"
[limits]
callers = 500
"#;

/// A control replica's.
pub const CONTROL: &str = r#"
replica = 1
data_folder = "/var/lib/corktack"
[addresses]
cell = "127.0.0.1:7100"
proxies = "127.0.0.1:7101"
operators = "127.0.0.1:7102"
[[members]]
id = 1
address = "127.0.0.1:7100"
"#;
