//! Certificate authority and certificates of the VMs.
