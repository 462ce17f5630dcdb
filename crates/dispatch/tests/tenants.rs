//! Guards against keys that belong to the wrong tenant, and digests that differ between nodes.

mod common;

use wigeonhall_dispatch::KeyDigest;
use wigeonhall_dispatch::RouteTable;
use wigeonhall_dispatch::TenantSpec;
use wigeonhall_dispatch::Tenants;

use common::configuration;
use common::pool;

fn digest(key: &str) -> KeyDigest {
    KeyDigest::new(key.as_bytes())
}

fn tenant(name: &str, keys: &[&str]) -> TenantSpec {
    TenantSpec {
        burst: 0.0,
        key_digests: keys.iter().map(|key| digest(key)).collect(),
        name: name.into(),
        priority: None,
        rate_per_s: 0.0,
    }
}

#[test]
fn each_key_leads_to_its_tenant() {
    let specs = [
        tenant("a", &["k1", "k2"]),
        tenant("b", &["k3"]),
        tenant("c", &[]),
    ];
    let tenants = Tenants::new(&specs);
    let holder = |key| {
        tenants
            .by_key(digest(key))
            .map(|tenant| tenant.name.to_string())
    };
    let holders = ["k1", "k2", "k3", "k4", ""].map(holder);
    let expected = ["a", "a", "b"].map(|name| Some(name.to_owned()));
    assert_eq!(holders[..3], expected);
    assert_eq!(holders[3..], [None, None]);
    assert!(tenants.by_name("c").is_some());
    assert!(tenants.by_name("d").is_none());
    assert_eq!(tenants.iter().count(), 3);
}

/// All nodes must give a key that two tenants hold to the same one.
#[test]
fn a_key_of_two_tenants_belongs_to_the_first() {
    for _ in 0..20 {
        let tenants = Tenants::new(&[tenant("z", &["k"]), tenant("a", &["k"])]);
        assert_eq!(&*tenants.by_key(digest("k")).unwrap().name, "z");
    }
}

/// Nodes of two releases exchange digests during a rollout.
#[test]
fn the_digest_of_a_key_does_not_depend_on_the_build() {
    let digest = digest("key");
    insta::assert_snapshot!(digest, @"53246c130740dbbed5fd87738c3dc779");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert!("".parse::<KeyDigest>().is_err());
    assert!("kq7Zp3vXw9Ld2TsB8mRf".parse::<KeyDigest>().is_err());
}

/// A configuration that names no tenant and one that names an empty list differ.
#[test]
fn a_table_has_tenants_only_if_its_configuration_has() {
    let mut with = configuration(1, Vec::new());
    assert!(RouteTable::new(&with, &mut pool()).tenants.is_none());
    with.tenants = Some(Vec::new());
    assert!(RouteTable::new(&with, &mut pool()).tenants.is_some());
}

/// A tenant without a limit must neither be refused first nor displace all others.
#[test]
fn tenants_without_a_limit_have_the_mean_weight() {
    let limited = |name, rate_per_s| TenantSpec {
        priority: Some(3),
        rate_per_s,
        ..tenant(name, &[])
    };
    let specs = [limited("a", 2.0), limited("b", 4.0), tenant("free", &[])];
    let tenants = Tenants::new(&specs);
    let claim = tenants.claim(Some(&specs[0]), Some(1.5));
    assert_eq!((claim.weight, claim.priority), (2.0, Some(3)));
    assert_eq!((&*claim.tenant, claim.demand_per_s), ("a", Some(1.5)));
    let claim = tenants.claim(Some(&specs[2]), None);
    assert_eq!((claim.weight, claim.priority), (3.0, None));
    let anonymous = tenants.claim(None, None);
    assert_eq!((anonymous.weight, &*anonymous.tenant), (3.0, ""));
    let unlimited = Tenants::new(&specs[2..]);
    let claim = unlimited.claim(Some(&specs[2]), None);
    assert_eq!((claim.weight, claim.priority), (1.0, None));
}
