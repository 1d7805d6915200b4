package sequoianode

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// configurationPeers is the number of processes that a process tells of a new configuration. If two thirds of the
	// processes receive it from the store, each of the others is told with a probability of 98%, and passes it on.
	configurationPeers = 6
	// configurationFetchDelay is how long a process that is told of a newer configuration waits for it from the store,
	// which usually answers its watch at about the same time.
	configurationFetchDelay = 100 * time.Millisecond
	// configurationFetchTimeout limits fetching a configuration from another process.
	configurationFetchTimeout = time.Second
)

// applyConfiguration applies a configuration if it is newer than the current one, and tells other processes of it. The
// caller must hold mu.
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
	n.configurationItem.Store(&it)
	var keyed []string
	for name, s := range cfg.Services {
		if s.Keyed {
			keyed = append(keyed, name)
		}
	}
	n.core.SetKeyedServices(keyed)
	n.setWarmupRule(cfg.Services[n.settings.Service])
	n.directory.setWarmupRates(cfg)
	n.applyLastStart(time.Now())
	n.log.Event("configuration in force", "Version", cfg.Version, "Revision", it.Revision)
	if old != nil {
		n.announceConfiguration(cfg.Version)
	}
}

// announceConfiguration tells some other processes of a configuration. The store may not reach all of them: it may turn
// away some instances, or a watch may wait on a dead connection.
func (n *Node) announceConfiguration(version uint64) {
	for _, addr := range n.directory.randomPeers(configurationPeers) {
		go func() {
			_, err := n.sendMessage(context.Background(), addr, peerTimeout, &sequoiarouter.Request{
				Path: pathConfigurationNews, Method: http.MethodPost, Key: strconv.FormatUint(version, 10),
				Body: []byte(n.settings.Instance),
			})
			if err != nil {
				n.metrics.messagesLost.Inc()
			}
		}()
	}
}

// serveConfigurationNews handles the message of a process that has a configuration. It starts fetching the
// configuration if it is newer than the current one.
func (n *Node) serveConfigurationNews(req *sequoiarouter.Request) *sequoiarouter.Response {
	version, err := strconv.ParseUint(req.Key, 10, 64)
	if err != nil {
		return n.notRunResponseWithLoad(reasonBadRequest, 0)
	}
	if n.lacksConfiguration(version) {
		go n.fetchConfiguration(string(req.Body), version)
	}
	return okResponse(nil, nil)
}

// lacksConfiguration reports whether the current configuration is older than a version. A process without any
// configuration waits for the store.
func (n *Node) lacksConfiguration(version uint64) bool {
	cfg := n.config.Load()
	return cfg != nil && cfg.Version < version
}

// fetchConfiguration fetches the configuration from another process, unless it arrives from the store meanwhile.
func (n *Node) fetchConfiguration(instance string, version uint64) {
	_ = sequoiatimer.Sleep(context.Background(), configurationFetchDelay)
	addr, ok := n.directory.address(instance)
	if !ok || !n.lacksConfiguration(version) || !n.fetchingConfiguration.CompareAndSwap(false, true) {
		return
	}
	defer n.fetchingConfiguration.Store(false)
	resp, err := n.sendMessage(context.Background(), addr, configurationFetchTimeout, &sequoiarouter.Request{
		Path: pathConfiguration, Method: http.MethodGet,
	})
	if err != nil {
		n.log.Event("failed to fetch the configuration", "Member", instance, "Version", version, "Error", err)
		return
	}
	n.log.Event("configuration from a peer", "Member", instance, "Revision", resp.LogIndex, "Bytes", len(resp.Body))
	n.onStoreItems([]sequoiaregistry.Item{{Key: n.dialect.ConfigurationKey, Value: resp.Body, Revision: resp.LogIndex}})
	n.watches.refreshLate(n.dialect.OperatorPrefix, resp.LogIndex)
}

// serveConfiguration returns the configuration in force, as it is in the store.
func (n *Node) serveConfiguration() *sequoiarouter.Response {
	it := n.configurationItem.Load()
	if it == nil {
		return n.notRunResponseWithLoad(reasonNoConfiguration, 0)
	}
	resp := okResponse(it.Value, nil)
	resp.LogIndex = it.Revision
	return resp
}
