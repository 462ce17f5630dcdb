//! Node settings and the operators' deployment text.
