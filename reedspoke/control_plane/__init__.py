"""The control plane: keeps the configuration on a chain of core machines, delivers it and the workers."""
