package relayer

import "strconv"

// workspaceName returns the name of the workspace that holds the request's key, or an
// empty string if there is none.
func (u *relay) workspaceName() string {
	if u.workspace == nil {
		return ""
	}
	return u.workspace.Name
}

func (u *relay) cacheScope() string {
	m := u.view.Matcher
	if u.workspace == nil && m.RequiresKey() && !u.proven {
		return m.UnprovenCacheScope()
	}
	return m.CacheScope(u.workspace)
}

// cacheSalt returns the salt that separates cached parts of different models,
// versions and cache scopes. An isolated workspace has a cache scope of its own.
func cacheSalt(model string, version int, cacheScope string) string {
	return model + "." + strconv.Itoa(version) + "." + cacheScope
}
