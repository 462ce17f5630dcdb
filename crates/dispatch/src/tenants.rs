use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use crate::KeyDigest;
use crate::TenantClaim;

/// A tenant, who holds API keys, as written in the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Requests that the tenant may make at once in addition to its rate.
    pub burst: f64,
    /// Digests of the API keys.
    pub key_digests: Vec<KeyDigest>,
    /// Name of the tenant.
    pub name: Arc<str>,
    /// Priority of its requests, which replaces the route's; lower numbers are more urgent.
    pub priority: Option<u32>,
    /// Requests per second that the tenant may make over all nodes together; 0 means no limit.
    pub rate_per_s: f64,
}

impl TenantSpec {
    /// Returns whether the rate of the tenant's requests is limited.
    #[must_use]
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// The tenants of one configuration version.
#[derive(Debug, Default)]
pub struct Tenants {
    by_key: HashMap<KeyDigest, Rc<TenantSpec>>,
    by_name: HashMap<Arc<str>, Rc<TenantSpec>>,
    /// Weight of tenants without a limit, and of all anonymous callers together.
    default_weight: f64,
}

impl Tenants {
    /// Indexes the tenants of a configuration. A key that two tenants hold belongs to the first.
    #[must_use]
    pub fn new(specs: &[TenantSpec]) -> Self {
        let mut tenants = Self {
            default_weight: mean_rate(specs),
            ..Self::default()
        };
        for spec in specs {
            let tenant = Rc::new(spec.clone());
            for key in &tenant.key_digests {
                tenants.by_key.entry(*key).or_insert_with(|| tenant.clone());
            }
            tenants.by_name.insert(tenant.name.clone(), tenant);
        }
        tenants
    }

    /// Returns the tenant that holds a key.
    #[must_use]
    pub fn by_key(&self, key: KeyDigest) -> Option<&Rc<TenantSpec>> {
        self.by_key.get(&key)
    }

    /// Returns the tenant with a name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<&Rc<TenantSpec>> {
        self.by_name.get(name)
    }

    /// Returns the number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the claim of a request to capacity; `demand_per_s` is the tenant's recent demand
    /// over all nodes, if it is known.
    #[must_use]
    pub fn claim(&self, tenant: Option<&TenantSpec>, demand_per_s: Option<f64>) -> TenantClaim {
        let weight = tenant.filter(|tenant| tenant.is_limited());
        TenantClaim {
            demand_per_s,
            priority: tenant.and_then(|tenant| tenant.priority),
            tenant: tenant.map_or_else(|| "".into(), |tenant| tenant.name.clone()),
            weight: weight.map_or(self.default_weight, |tenant| tenant.rate_per_s),
        }
    }

    /// Returns all tenants, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<TenantSpec>> {
        self.by_name.values()
    }
}

/// Returns the mean rate of the tenants with a limit; 1 without any.
fn mean_rate(specs: &[TenantSpec]) -> f64 {
    let limited = specs.iter().filter(|spec| spec.is_limited());
    let rates: Vec<f64> = limited.map(|spec| spec.rate_per_s).collect();
    if rates.is_empty() {
        return 1.0;
    }
    rates.iter().sum::<f64>() / rates.len() as f64
}
