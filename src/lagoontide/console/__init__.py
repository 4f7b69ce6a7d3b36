"""The operators' console of forms and the configuration's API."""
