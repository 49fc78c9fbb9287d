//! SCRAM authentication of callers at a proxy.

use crate::support::{CallerSettings, ThirdProxy, sqlstate, start_dev};
use rstest::rstest;

const SCRAM_SETTINGS: &str = "[authentication]\nmode = \"scram\"\n\
    [[authentication.users]]\nname = \"app\"\npassword = \"open sesame\"";

#[rstest]
#[case::right("app", "open sesame", None)]
#[case::wrong("app", "open barley", Some("28P01"))]
#[case::unknown("ali", "open sesame", Some("28P01"))]
#[actix_rt::test]
async fn only_a_known_user_with_its_password_is_accepted(
    #[case] user: &str,
    #[case] password: &str,
    #[case] expected_sqlstate: Option<&str>,
) {
    let dev = start_dev().await;
    let proxy = ThirdProxy::start(&dev, SCRAM_SETTINGS).await;
    let mut settings = CallerSettings::new(proxy.handle.addresses().callers);
    settings.config.user(user).password(password);
    let connected = settings.connect().await;
    assert_eq!(connected.as_ref().err().map(sqlstate), expected_sqlstate);
    if let Ok(caller) = connected {
        assert_eq!(caller.query_value("SELECT 1 AS n").await, "1");
    }
    proxy.handle.stop().await;
    dev.stop().await;
}
