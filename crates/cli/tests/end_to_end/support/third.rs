//! A third proxy that joins a running `dev`, with settings that the test chooses.

use corktack_server::dev::Dev;
use corktack_server::proxy::{self, ProxyHandle};
use corktack_server::settings::{ProxyOverrides, ProxySettings};
use tempfile::TempDir;

/// A proxy in addition to the two that `dev` runs.
pub struct ThirdProxy {
    /// Handle to the running proxy; gives its addresses and stops it.
    pub handle: ProxyHandle,
    _folder: TempDir,
}

impl ThirdProxy {
    /// Starts the proxy; `sections` is TOML that follows the settings which every proxy needs.
    pub async fn start(dev: &Dev, sections: &str) -> Self {
        let folder = tempfile::tempdir().expect("temporary folder");
        let control = dev.control()[0].addresses().proxies;
        let text = format!(
            "name = \"proxy-third\"\nzone = \"local.a\"\ndata_folder = \"{}\"\n\
             default_class = \"bronze\"\n[addresses]\ncallers = \"127.0.0.1:0\"\n\
             peers = \"127.0.0.1:0\"\ntelemetry = \"127.0.0.1:0\"\n\
             [control]\nreplicas = [\"{control}\"]\n{sections}\n",
            folder.path().join("data").display()
        );
        let file = folder.path().join("proxy.toml");
        std::fs::write(&file, text).expect("file written");
        let settings = ProxySettings::load(&file, ProxyOverrides::default());
        let started = proxy::start(settings.expect("valid settings")).await;
        Self { handle: started.expect("the proxy starts"), _folder: folder }
    }
}
