package membership

import "slices"

// electorate gives those who vote on what follows and how many of them it takes. A first fleet takes all its founders: each
// may have been part of another that it has forgotten, and only together they know that there is none.
func (a *Agreement) electorate() (voters []ID, quorum int) {
	if a.isForming() {
		for _, name := range a.config.Founders {
			if id, is := a.view.NameOwner(name); is {
				voters = append(voters, id)
			}
		}
		return voters, max(1, len(a.config.Founders))
	}
	for _, v := range a.configuration.Voters {
		voters = append(voters, v.ID)
	}
	return voters, len(voters)/2 + 1
}

// isForming says that there is no fleet to follow: none was heard of, or every voter of the last one is over for good.
func (a *Agreement) isForming() bool {
	if a.configuration.Epoch == 0 || a.conflicting {
		return true
	}
	for _, v := range a.configuration.Voters {
		m := a.view.Member(v.ID)
		holder, is := a.view.NameOwner(v.Name)
		over := m != nil && m.terminated
		// Another life has been on its address for longer than one that is over is held to be there.
		if h := a.view.Member(holder); is && h != nil && holder != v.ID && h.Address == v.Address && h.isAlive() && a.view.now-h.FirstSeen > a.config.FlapHold {
			over = true
		}
		if !over {
			return false
		}
	}
	return true
}

// mayVote says whether this server may vote on what follows now.
func (a *Agreement) mayVote() bool {
	if a.isForming() { // one that leaves still votes on what follows it: else half of the voters could not be replaced
		return a.view.now >= a.votesFrom && slices.Contains(a.config.Founders, a.config.Self.Name)
	}
	return a.configuration.hasVoter(a.config.Self)
}

func (a *Agreement) isElector(id ID) bool {
	voters, _ := a.electorate()
	return slices.Contains(voters, id)
}
