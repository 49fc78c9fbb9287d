//! A third proxy of `dev`, with settings of a test's own.

use corktack_server::dev::Dev;
use corktack_server::proxy::{self, ProxyHandle};
use corktack_server::settings::{ProxyOverrides, ProxySettings};
use tempfile::TempDir;

/// A proxy that joined the fleet of `dev`.
pub struct ThirdProxy {
    /// The running proxy.
    pub handle: ProxyHandle,
    _folder: TempDir,
}

impl ThirdProxy {
    /// Starts it; `sections` stands behind what every proxy needs.
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
