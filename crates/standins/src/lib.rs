//! Small stand-ins for targets, the object API and the VM list.
