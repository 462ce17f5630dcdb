//! Checks that the example files are valid and agree with each other.

use std::fs::read_to_string;
use std::path::Path;

use wigeonhall_settings::check;
use wigeonhall_settings::check_node;
use wigeonhall_settings::parse;
use wigeonhall_settings::parse_node;
use wigeonhall_settings::resolve;
use wigeonhall_types::NameCatalog;

fn example(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    read_to_string(folder.join(name)).unwrap()
}

/// Returns the numbers of classes, services, replicas, data centres and VMs of an example,
/// which must have no findings.
fn sizes(name: &str) -> [usize; 5] {
    let text = example(name);
    let findings = check(&text);
    assert!(findings.is_empty(), "{findings:#?}");
    let deployment = resolve(&parse(&text).unwrap(), 7, &mut NameCatalog::default());
    assert_eq!(deployment.generation, 7);
    [
        deployment.classes.len(),
        deployment.services.len(),
        deployment.replicas.len(),
        deployment.data_centres.len(),
        deployment.vms.len(),
    ]
}

/// Guards against example deployments whose sizes differ from those of the users' deployments.
#[test]
fn example_deployments_have_the_documented_sizes() {
    assert_eq!(sizes("delta-furrow.yaml"), [5, 52, 121, 3, 15]);
    assert_eq!(sizes("canopy-vending.yaml"), [5, 52, 111, 4, 15]);
    assert_eq!(sizes("demo.yaml"), [3, 7, 16, 3, 3]);
}

/// Guards against a key in one map of the deployment that is missing from the map it refers
/// to.
#[test]
fn resolved_deployments_have_no_dangling_keys() {
    for name in ["delta-furrow.yaml", "canopy-vending.yaml", "demo.yaml"] {
        let mut catalog = NameCatalog::default();
        let deployment = resolve(&parse(&example(name)).unwrap(), 1, &mut catalog);
        for class in deployment.classes.values() {
            assert!(class.depends_on.is_sorted());
            assert!(
                class
                    .depends_on
                    .iter()
                    .all(|it| deployment.services.contains_key(it))
            );
        }
        for (key, service) in &deployment.services {
            assert!(service.replicas.len() >= 2);
            assert!(service.replicas.is_sorted());
            assert!(
                service
                    .replicas
                    .iter()
                    .all(|it| deployment.replicas[it].service == *key)
            );
        }
        for replica in deployment.replicas.values() {
            assert!(deployment.data_centres.contains_key(&replica.data_centre));
        }
        for vm in deployment.vms.values() {
            assert!(deployment.data_centres.contains_key(&vm.data_centre));
        }
    }
}

/// Guards against demo node settings that contradict the demo deployment.
#[test]
fn demo_node_settings_match_the_demo_deployment() {
    let deployment = parse(&example("demo.yaml")).unwrap();
    for name in ["north-1", "south-1", "east-1"] {
        let text = example(&format!("demo-{name}.yaml"));
        assert_eq!(check_node(&text), []);
        let node = parse_node(&text).unwrap();
        let vm = &deployment.vms[name];
        assert_eq!(&*node.name, name);
        assert_eq!(node.data_centre, vm.data_centre);
        assert_eq!(node.caller_address, vm.caller_address);
        assert_eq!(node.node_address, vm.node_address);
        assert_eq!(node.region, deployment.data_centres[&vm.data_centre].region);
        for seed in &node.seeds {
            assert_eq!(seed.address, deployment.vms[&seed.name].node_address);
        }
    }
}
