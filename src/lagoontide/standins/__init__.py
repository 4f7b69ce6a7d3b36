"""Small fakes at the interfaces: store, instance list and targets."""
