//! Who is let in where callers must prove who they are.

use crate::support::{CallerSettings, sqlstate, start_dev};
use corktack_server::dev::Dev;
use corktack_server::proxy::{self, ProxyHandle};
use corktack_server::settings::{ProxyOverrides, ProxySettings};
use rstest::rstest;
use std::path::Path;

/// A third proxy of `dev` that lets in its users alone.
async fn start_proxy(dev: &Dev, folder: &Path) -> ProxyHandle {
    let control = dev.control()[0].addresses().proxies;
    let data = folder.join("data");
    let text = format!(
        r#"
name = "proxy-scram"
zone = "local.a"
data_folder = "{}"
default_class = "bronze"
[addresses]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
telemetry = "127.0.0.1:0"
[control]
replicas = ["{control}"]
[authentication]
mode = "scram"
[[authentication.users]]
name = "app"
password = "open sesame"
"#,
        data.display()
    );
    let file = folder.join("proxy.toml");
    std::fs::write(&file, text).expect("file written");
    let settings = ProxySettings::load(&file, ProxyOverrides::default()).expect("valid settings");
    proxy::start(settings).await.expect("the proxy starts")
}

#[rstest]
#[case::right("app", "open sesame", None)]
#[case::wrong("app", "open barley", Some("28P01"))]
#[case::unknown("ali", "open sesame", Some("28P01"))]
#[actix_rt::test]
async fn only_a_known_user_with_its_password_is_let_in(
    #[case] user: &str,
    #[case] password: &str,
    #[case] refusal: Option<&str>,
) {
    let dev = start_dev().await;
    let folder = tempfile::tempdir().expect("temporary folder");
    let proxy = start_proxy(&dev, folder.path()).await;
    let mut settings = CallerSettings::new(proxy.addresses().callers);
    settings.config.user(user).password(password);
    let connected = settings.connect().await;
    assert_eq!(connected.as_ref().err().map(sqlstate), refusal);
    if let Ok(caller) = connected {
        assert_eq!(caller.value("SELECT 1 AS n").await, "1");
    }
    proxy.stop().await;
    dev.stop().await;
}
