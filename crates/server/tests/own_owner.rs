//! Checks that a proxy reaches the owner in its own process without its announced address.
//!
//! A proxy that connected to its own owner through the announced address would serve none of its callers once
//! that address cannot be reached.

use corktack_control::api::WriteBody;
use corktack_core::identity::GroupName;
use corktack_core::resources::{DatabaseGroupSpec, MemberSpec, ResourceKey, ResourceSpec};
use corktack_core::view::View;
use corktack_server::client::{ApiClient, ClientSettings, Request};
use corktack_server::control::{Bootstrap, ControlProcess};
use corktack_server::proxy::{self, ProxyHandle};
use corktack_server::settings::{ControlOverrides, ControlSettings, ProxyOverrides, ProxySettings};
use corktack_standin::{Group, GroupSettings};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use tokio_postgres::{Config, NoTls};

/// Longest time of each wait in this test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const GROUP_NAME: &str = "records";

fn settings_file(folder: &Path, name: &str, text: &str) -> std::path::PathBuf {
    let file = folder.join(format!("{name}.toml"));
    std::fs::write(&file, text).expect("file written");
    file
}

fn start_control(folder: &Path) -> ControlProcess {
    let text = format!(
        "replica = 1\ndata_folder = \"{}\"\n[addresses]\ncell = \"127.0.0.1:0\"\n\
         proxies = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
         [[members]]\nid = 1\naddress = \"127.0.0.1:1\"\n",
        folder.join("control-data").display()
    );
    let file = settings_file(folder, "control", &text);
    let settings = ControlSettings::load(&file, ControlOverrides::default());
    let settings = settings.expect("valid settings");
    corktack_server::control::start(settings, Bootstrap::Allow).expect("control starts")
}

async fn start_proxy(folder: &Path, control: SocketAddr, announced: SocketAddr) -> ProxyHandle {
    let text = format!(
        "name = \"proxy-1\"\nzone = \"amba.a\"\ndata_folder = \"{}\"\n[addresses]\n\
         callers = \"127.0.0.1:0\"\npeers = \"0.0.0.0:0\"\npeers_announced = \"{announced}\"\n\
         telemetry = \"127.0.0.1:0\"\n[control]\nreplicas = [\"{control}\"]\n\
         [timeouts]\nrequest_ms = 5000\nhandover_ms = 1\n",
        folder.join("proxy-data").display()
    );
    let file = settings_file(folder, "proxy", &text);
    let settings = ProxySettings::load(&file, ProxyOverrides::default()).expect("valid settings");
    proxy::start(settings).await.expect("the proxy starts")
}

async fn declare_group(group: &Group, operators: SocketAddr) {
    let member = |(peer, address): (&corktack_standin::Peer, &SocketAddr)| MemberSpec {
        name: peer.name.clone(),
        address: *address,
        zone: "amba.a".parse().expect("valid literal"),
        draining: false,
    };
    let spec = DatabaseGroupSpec {
        database: GROUP_NAME.to_owned(),
        members: group.peers().iter().zip(group.postgres_addresses()).map(member).collect(),
        slots: 2,
        connections: 6,
        queue_limit: 10,
        queue_timeout_ms: 5_000,
        replica_wait_ms: 20,
    };
    let key = ResourceKey::DatabaseGroup(GroupName::new(GROUP_NAME).expect("valid literal"));
    let request = Request::put(&key, &ResourceSpec::DatabaseGroup(spec), None).expect("JSON");
    let servers = vec![format!("http://{operators}")];
    let client = ApiClient::new(ClientSettings { servers, ..ClientSettings::default() });
    let written = client.expect("a client").request::<WriteBody>(request).await;
    written.expect("the group is declared");
}

async fn wait_until_served(proxy: &ProxyHandle) {
    let name = GroupName::new(GROUP_NAME).expect("valid literal");
    let is_served = |view: &Arc<View>| {
        let group = view.groups.get(&name);
        group.is_some_and(|group| group.primary.is_some() && group.owner.is_some())
    };
    let mut views = proxy.views();
    timeout(WAIT_TIMEOUT, views.wait_for(is_served))
        .await
        .expect("served in time")
        .expect("it runs");
}

#[actix_rt::test]
async fn callers_are_served_while_the_announced_address_does_not_respond() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let name = GroupName::new(GROUP_NAME).expect("valid literal");
    let group = Group::start(GroupSettings::new(name, folder.path().join("group")));
    let group = group.expect("the group starts");
    let control = start_control(folder.path());
    declare_group(&group, control.addresses().operators).await;
    // This listener accepts connections and never sends anything.
    let silent_listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let announced = silent_listener.local_addr().expect("bound address");
    let proxies = control.addresses().proxies;
    let proxy = start_proxy(folder.path(), proxies, announced).await;
    wait_until_served(&proxy).await;
    let mut config = Config::new();
    config.host("127.0.0.1").port(proxy.addresses().callers.port()).user("app").dbname(GROUP_NAME);
    let (client, connection) = config.connect(NoTls).await.expect("let in");
    actix_rt::spawn(connection);
    client.batch_execute("CREATE TABLE beds (id INT)").await.expect("served by its own owner");
    let row = client.query_one("SELECT count(*) FROM beds", &[]).await.expect("one row");
    assert_eq!(row.get::<_, i64>(0), 0);
    // The listener is kept until here, so that nothing else can respond at the address.
    drop(silent_listener);
    proxy.stop().await;
    control.stop().await;
}
