//! Planned stops of the leader while changes are made through every replica.

mod support;

use awc::http::{Method, StatusCode};
use corktack_control::api::{ResourceList, WriteBody};
use corktack_core::resources::ResourceVersion;
use corktack_storage::DataFolder;
use futures_util::future::join_all;
use std::cell::Cell as SharedCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use support::operator::{Operator, class_body};
use support::{Cell, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const WRITERS: usize = 6;
const STOPS: u64 = 4;
/// Connections to the replica that send nothing, each with a task of its own.
const SILENT_CONNECTIONS: usize = 100;
/// Changes that must be accepted between two steps of the test.
const CHANGES_PER_STEP: usize = 30;

/// The progress that the writers share with the test.
#[derive(Clone, Default)]
struct Progress {
    accepted: Rc<SharedCell<usize>>,
    done: Rc<SharedCell<bool>>,
}

impl Progress {
    async fn wait_for_more(&self) {
        let target = self.accepted.get() + CHANGES_PER_STEP;
        wait_until("more changes", async || (self.accepted.get() >= target).then_some(())).await;
    }
}

/// Guards against a replica that cannot start again at once: tasks that serve other replicas' connections share
/// the lock of the data folder, and may end later than the consensus thread.
#[actix_rt::test]
async fn a_stopped_replica_has_freed_its_data_folder_and_ports() {
    let mut cell = Cell::start(3);
    let index = cell.follower().await;
    let replica = &mut cell.replicas[index];
    for _ in 0..STOPS {
        let connect = || TcpStream::connect(replica.cell);
        let connections = join_all((0..SILENT_CONNECTIONS).map(|_| connect())).await;
        replica.stop().await;
        let folder = DataFolder::open(replica.folder.path()).expect("the data folder is free");
        drop(folder);
        for address in [replica.cell, replica.proxies, replica.operators] {
            drop(TcpListener::bind(address).await.expect("the port is free"));
        }
        drop(connections);
        replica.restart(&|_| ()).await;
    }
}

/// The stop begins while a request is in flight: its handler runs and waits for the body.
#[actix_rt::test]
async fn a_request_in_flight_at_a_stop_is_answered() {
    let mut cell = Cell::start(3);
    let index = cell.follower().await;
    let mut stream = TcpStream::connect(cell.replicas[index].operators).await.expect("accepted");
    let body = class_body(1, Some(0)).to_string();
    let head = format!(
        "PUT /v1/classes/gold HTTP/1.1\r\nHost: test\r\nExpect: 100-continue\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.expect("the head is sent");
    let mut answer = [0; 1_024];
    let count = stream.read(&mut answer).await.expect("an answer");
    assert!(answer[..count].starts_with(b"HTTP/1.1 100 "), "the handler waits for the body");
    let request = async {
        stream.write_all(body.as_bytes()).await.expect("the body is sent");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect("the answer");
        String::from_utf8_lossy(&answer).into_owned()
    };
    // The stop is polled first, so it has begun when the body is sent.
    let ((), answer) = tokio::join!(biased; cell.replicas[index].stop(), request);
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:?}");
    cell.leader().await;
    let other = &cell.replicas[(index + 1) % 3];
    assert_eq!(other.operator().get("/v1/classes/gold").await.status, StatusCode::OK);
}

/// Creates a class and retries under the same change id, through one replica after another.
async fn create(operators: &[Operator], first: usize, name: &str) -> WriteBody {
    let (path, change_id) = (format!("/v1/classes/{name}"), format!("change-{name}"));
    let body = class_body(1, Some(0));
    let attempts = SharedCell::new(first);
    wait_until("an answer", async || {
        let operator = &operators[attempts.get() % operators.len()];
        attempts.set(attempts.get() + 1);
        let answer = operator.try_send(Method::PUT, &path, Some(&change_id), Some(&body)).await?;
        // A change that took effect twice would be answered with a conflict, as the class exists.
        assert_ne!(answer.status, StatusCode::CONFLICT, "{:?}", answer.body);
        (answer.status == StatusCode::OK).then(|| answer.accepted())
    })
    .await
}

type Accepted = Vec<(String, ResourceVersion)>;

async fn run_writer(number: usize, operators: Vec<Operator>, progress: Progress) -> Accepted {
    let mut accepted = Accepted::new();
    while !progress.done.get() {
        let name = format!("c-{number}-{}", accepted.len());
        let first = create(&operators, number, &name).await;
        let resent = create(&operators, number + 1, &name).await;
        assert_eq!(resent, first, "a resend through another replica");
        accepted.push((name, first.resource_version));
        progress.accepted.set(progress.accepted.get() + 1);
    }
    accepted
}

#[actix_rt::test]
async fn planned_stops_of_the_leader_lose_and_repeat_no_changes() {
    let mut cell = Cell::start(3);
    let mut term = cell.replicas[cell.leader().await].running().status().term;
    let operators: Vec<Operator> = cell.replicas.iter().map(|replica| replica.operator()).collect();
    let progress = Progress::default();
    let writers: Vec<_> = (0..WRITERS)
        .map(|number| actix_rt::spawn(run_writer(number, operators.clone(), progress.clone())))
        .collect();
    for _ in 0..STOPS {
        progress.wait_for_more().await;
        let leader = cell.leader().await;
        cell.replicas[leader].stop().await;
        let new_leader = cell.leader().await;
        // A transfer raises the term once; an election after a timeout may need several.
        let new_term = cell.replicas[new_leader].running().status().term;
        assert_eq!(new_term.0, term.0 + 1);
        term = new_term;
        progress.wait_for_more().await;
        cell.replicas[leader].restart(&|_| ()).await;
    }
    progress.done.set(true);
    let accepted = join_all(writers).await.into_iter().map(|writer| writer.expect("a writer ends"));
    let accepted: BTreeMap<String, ResourceVersion> = accepted.flatten().collect();
    println!("{} changes over {STOPS} planned stops", accepted.len());
    for operator in &operators {
        let list: ResourceList = wait_until("the replica serves", async || {
            let answer = operator.get("/v1/classes").await;
            (answer.status == StatusCode::OK).then(|| answer.read())
        })
        .await;
        let stored = list.items.iter().map(|manifest| {
            let metadata = manifest.metadata();
            assert_eq!(metadata.generation, Some(1), "{}", metadata.name);
            (metadata.name.clone(), metadata.resource_version.expect("a stored version"))
        });
        assert_eq!(stored.collect::<BTreeMap<_, _>>(), accepted);
    }
}
