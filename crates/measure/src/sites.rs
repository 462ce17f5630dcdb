use crate::MeasuredDeployment;
use crate::Network;
use wigeonhall_settings::SettingsError;
use wigeonhall_types::NameCatalog;

const CANOPY_VENDING: &str = include_str!("../../../examples/canopy-vending.yaml");
const DELTA_FURROW: &str = include_str!("../../../examples/delta-furrow.yaml");

/// One-way delay between a caller and an entry node.
const CALLER_DELAY_US: u64 = 3_000;

/// One-way delay within a data centre.
const WITHIN_DATA_CENTRE_US: u64 = 100;

/// Returns the two example deployments with their network delays.
///
/// # Errors
///
/// If an example deployment is not valid.
pub fn sites() -> Result<Vec<MeasuredDeployment>, SettingsError> {
    let delays = |between_us| Network {
        between_us,
        caller_us: CALLER_DELAY_US,
        within_us: WITHIN_DATA_CENTRE_US,
    };
    Ok(vec![
        site("delta-furrow", DELTA_FURROW, delays(1_000))?,
        site("canopy-vending", CANOPY_VENDING, delays(500))?,
    ])
}

fn site(
    name: &'static str,
    text: &str,
    network: Network,
) -> Result<MeasuredDeployment, SettingsError> {
    let settings = wigeonhall_settings::parse(text)?;
    let mut catalog = NameCatalog::default();
    let deployment = wigeonhall_settings::resolve(&settings, 1, &mut catalog);
    Ok(MeasuredDeployment {
        catalog,
        deployment,
        name,
        network,
    })
}
