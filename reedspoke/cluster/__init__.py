"""What the data plane and the control plane share: settings, messages, the configuration and transport."""
