package sequoianode

import "github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"

// applyConfiguration applies a configuration if it is newer than the current one. The caller must hold mu.
func (n *Node) applyConfiguration(it sequoiaregistry.Item) {
	if it.Deleted {
		return
	}
	cfg, err := n.dialect.ReadConfiguration(it.Value)
	if err != nil {
		n.log.Event("configuration rejected", "Revision", it.Revision, "Error", err)
		return
	}
	old := n.config.Load()
	if old != nil && cfg.Version <= old.Version {
		return
	}
	cfg.Sort()
	n.config.Store(cfg)
	var keyed []string
	for name, s := range cfg.Services {
		if s.Keyed {
			keyed = append(keyed, name)
		}
	}
	n.core.SetKeyedServices(keyed)
	n.log.Event("configuration in force", "Version", cfg.Version, "Revision", it.Revision)
}
