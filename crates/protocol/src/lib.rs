//! The tarpc service between nodes and its message types.
