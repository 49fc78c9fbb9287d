//! Commands and flags of the program; the doc comments inside `xflags!` are the help texts that it prints.

use crate::output::Format;
use corktack_core::identity::{ProxyName, ZoneName};
use std::net::SocketAddr;
use std::path::PathBuf;

xflags::xflags! {
    /// A database proxy with session consistency.
    cmd corktack {
        /// Operator interface of a control replica, http://IP:PORT; several are tried in turn.
        /// Otherwise CORKTACK_SERVER (separated by commas), then http://127.0.0.1:6480.
        repeated --server url: String
        /// Bearer token of the operator interface; otherwise CORKTACK_TOKEN.
        optional --token token: String
        /// Form of the output: table (the default), json or yaml.
        optional -o, --output format: Format

        /// Runs a control replica.
        cmd control {
            /// Settings file (TOML).
            required --settings file: PathBuf
            /// Founds a new cell when the data folder is empty: at the very first start only.
            optional --bootstrap
            /// Over the file's data_folder.
            optional --data-folder folder: PathBuf
            /// Over the file's addresses.cell.
            optional --cell address: SocketAddr
            /// Over the file's addresses.proxies.
            optional --proxies address: SocketAddr
            /// Over the file's addresses.operators.
            optional --operators address: SocketAddr
        }
        /// Runs a proxy.
        cmd proxy {
            /// Settings file (TOML).
            required --settings file: PathBuf
            /// Over the file's name.
            optional --name name: ProxyName
            /// Over the file's zone.
            optional --zone zone: ZoneName
            /// Over the file's data_folder.
            optional --data-folder folder: PathBuf
            /// Over the file's addresses.callers.
            optional --callers address: SocketAddr
            /// Over the file's addresses.peers.
            optional --peers address: SocketAddr
            /// Over the file's addresses.telemetry.
            optional --telemetry address: SocketAddr
        }
        /// Runs every role with a stand-in group of three members in one process.
        cmd dev {
            /// Folder that keeps the data over restarts; otherwise a temporary one.
            optional --data-folder folder: PathBuf
            /// Port for callers on 127.0.0.1; 6432 by default, 0 takes a free one.
            optional --port port: u16
            /// Port for operators on 127.0.0.1; 6480 by default, 0 takes a free one.
            optional --operators-port port: u16
            /// Number of control replicas: 1 (the default) or 3.
            optional --control-replicas number: usize
        }
        /// Creates or replaces the resources of manifests.
        cmd apply {
            /// Manifest file, or a folder of them.
            repeated -f, --file path: PathBuf
        }
        /// Shows resources.
        cmd get {
            /// group, class or binding.
            required kind: String
            /// Name; all of the kind otherwise.
            optional name: String
        }
        /// Follows changes as they are put in force.
        cmd watch {
            /// group, class or binding; all of them otherwise.
            optional kind: String
            /// Revision after which to start; now otherwise.
            optional --from revision: u64
            /// Ends after this many events.
            optional --events number: u64
        }
        /// Deletes a resource.
        cmd delete {
            /// group, class or binding.
            required kind: String
            /// Name.
            required name: String
            /// Deletes only this resource version.
            optional --version version: u64
        }
        /// Shows the control cell, proxies and groups, and what is in force.
        cmd status {
            /// Waits until the newest revision of now is in force on every proxy.
            optional --wait
            /// Longest wait, in milliseconds; 60000 by default.
            optional --timeout-ms milliseconds: u64
        }
        /// Shows what led to the end of a request, or how many failed and why, from the log lines of
        /// processes.
        cmd explain {
            /// The id of the request.
            optional id: String
            /// Counts the requests that failed: by second, reason, class, tenant and group.
            optional --summary
            /// Log file of a process; several may be named.
            repeated -l, --log path: PathBuf
        }
        /// Checks settings files (.toml) and manifests (.yaml, .yml) without a server.
        cmd check {
            /// File, or a folder of them.
            repeated -f, --file path: PathBuf
        }
        /// Changes the replicas of the control cell, one at a time.
        cmd cell {
            /// Adds a replica that does not vote yet.
            cmd add-learner {
                /// Identity, a number never used before.
                required id: u64
                /// Its address for other replicas.
                required address: SocketAddr
            }
            /// Lets a learner vote once it has caught up.
            cmd promote {
                /// Identity.
                required id: u64
            }
            /// Removes a replica.
            cmd remove {
                /// Identity.
                required id: u64
            }
        }
    }
}
