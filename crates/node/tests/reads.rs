//! Reads, the status, and the recorded decisions on requests and replicas.

mod common;

use common::Cluster;
use wigeonhall_node::CallerAnswer;
use wigeonhall_node::ReadRequest;
use wigeonhall_node::RequiredCoverage;
use wigeonhall_protocol::Explanation;
use wigeonhall_protocol::NodeStatus;
use wigeonhall_types::KeyRange;
use wigeonhall_types::Verdict;

/// Guards against answers with missing or duplicate rows, or with rows outside the range.
#[test]
fn reads_are_whole_at_every_node() {
    let cluster = Cluster::start(1);
    let ranges = [(5, 1 << 31), (1 << 24, 2 << 24), (1 << 30, (3 << 30) + 1)];
    for address in cluster.addresses() {
        let answer = common::read(address).unwrap();
        common::assert_whole(&answer);
        assert_eq!(answer.verdict, Verdict::Ran);
        for (start, end) in ranges {
            let range = KeyRange { start, end };
            let request = ReadRequest {
                coverage: RequiredCoverage::Partial,
                range: Some(range),
                ..common::read_request()
            };
            let answer: CallerAnswer = common::post(address, "query", &request).unwrap();
            assert!(answer.coverage.full, "{answer:?}");
            assert_eq!(answer.coverage.read, [range]);
            let expected =
                wigeonhall_standins::rows_in_range(range, answer.snapshot.unwrap(), 1 << 24);
            assert_eq!(answer.rows, expected);
        }
    }
    cluster.assert_target_limits();
}

/// Guards against a brief status that contains the long lists of members and replicas. The
/// operators' command polls it at every node.
#[test]
fn a_brief_status_omits_members_and_replicas() {
    let cluster = Cluster::start(1);
    let address = cluster.address(0);
    let brief: NodeStatus = common::get(address, "/status?brief=true");
    assert!(brief.members.is_empty(), "{brief:?}");
    assert!(brief.replicas.is_empty());
    assert!(brief.generation > 0);
    let full = common::status(address);
    assert_eq!(full.members.len(), 3);
    assert!(!full.replicas.is_empty());
}

/// Guards against answers without the request id under which the decisions on the request are
/// recorded, so that operators could not look them up.
#[test]
fn answers_can_be_explained_by_their_request_id() {
    let cluster = Cluster::start(1);
    let address = cluster.address(0);
    for target in &cluster.targets {
        target.set_shedding(target.name().ends_with("-b"));
    }
    let body = serde_json::to_string(&common::read_request()).unwrap();
    let response = attohttpc::post(format!("http://{address}/query"))
        .text(body)
        .send()
        .unwrap();
    let header = response.headers().get("X-Request-Id").unwrap();
    let id = header.to_str().unwrap().to_owned();
    let answer: CallerAnswer = response.json().unwrap();
    assert_eq!(answer.request_id.as_deref(), Some(id.as_str()));
    let explained: Explanation = common::get(address, &format!("/explain?request={id}"));
    let decisions: Vec<&str> = explained.decisions.iter().map(|it| &*it.what).collect();
    // The pinned version is the index version that all sub-requests of the read use.
    assert_eq!(
        decisions.first(),
        Some(&"pinned version 1"),
        "{explained:?}"
    );
    assert_eq!(decisions.last(), Some(&"answered whole"), "{explained:?}");
    let write = common::write_request("explained-1", 7);
    let answer = common::write(address, &write);
    assert_eq!(answer.request_id.as_deref(), Some("explained-1"));
    let explained: Explanation = common::get(address, "/explain?request=explained-1");
    let last = explained.decisions.last().unwrap();
    assert_eq!(&*last.what, "answered whole", "{explained:?}");
}

/// Guards against changes of a replica's owner or state that are not recorded.
#[test]
fn changes_of_replica_owner_and_state_are_explained() {
    let cluster = Cluster::start(1);
    let owner = |name: &str| {
        let mut nodes = cluster.addresses().into_iter();
        nodes.find(|it| {
            let replicas = common::status(*it).replicas;
            replicas.iter().any(|replica| &*replica.name == name)
        })
    };
    let address = owner("shard-1-a").unwrap();
    let recorded = |what: &str| {
        let explained: Explanation = common::get(address, "/explain?replica=shard-1-a");
        explained.decisions.iter().any(|it| &*it.what == what)
    };
    // The node was granted the ownership: all requests to the replica go through it.
    assert!(recorded("granted"));
    // A cold target becomes warm by serving requests.
    common::wait_until("the warm state", || {
        common::read(address).unwrap();
        recorded("warm")
    });
    cluster.target("shard-1-a").set_draining(true);
    common::wait_until("the drain", || {
        let _ = common::read(address);
        recorded("leaving")
    });
}
