//! Client of the platform's VM list and of its object API, also called the store.
//!
//! The HTTP requests and replies are specified in `docs/platform-interface.md`. Every call
//! opens one connection and blocks its thread for at most the configured timeout.

mod change_outcome;
mod http;
mod object_api;
mod object_calls;
mod platform_error;
mod stored_object;
mod vm_list;

pub use change_outcome::ChangeOutcome;
pub use object_api::MAX_VALUE_BYTES;
pub use object_api::ObjectApi;
pub use object_calls::ObjectCallCounts;
pub use platform_error::PlatformError;
pub use stored_object::ObjectHead;
pub use stored_object::StoredObject;
pub use vm_list::VmListClient;
