//! Converts messages to and from thrift.
