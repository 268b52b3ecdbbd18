package resource

import "fmt"

// Reference is a reference to another resource in a resource's spec.
type Reference struct {
	Field string // the path of the field that holds it
	Kind  Kind
	Name  string
}

// CheckReferences returns a fault for each reference of r to a resource that does not exist in the
// view.
func (v *View) CheckReferences(r *Resource) Faults {
	var f Faults
	for _, x := range References(r) {
		if v.Get(x.Kind, x.Name) == nil {
			f.add(x.Field, "%s %q does not exist", x.Kind, x.Name)
		}
	}
	return f
}

// References returns the references in the spec of r.
func References(r *Resource) []Reference {
	switch r.Kind {
	case KindUpstream:
		return upstreamReferences(r)
	case KindVersion:
		if s, err := Decode[VersionSpec](r); err == nil && s.Model != "" {
			return []Reference{{"spec.model", KindModel, s.Model}}
		}
	case KindWorkspace:
		if s, err := Decode[WorkspaceSpec](r); err == nil && s.Priority != "" {
			return []Reference{{"spec.priority", KindPriority, s.Priority}}
		}
	case KindRoute:
		return routeReferences(r)
	case KindBox, KindEvacuation, KindLimits, KindModel, KindPriority, KindService:
	}
	return nil
}

func routeReferences(r *Resource) []Reference {
	s, err := Decode[RouteSpec](r)
	if err != nil {
		return nil
	}
	var l []Reference
	for i, x := range s.Services {
		l = append(l, Reference{fmt.Sprintf("spec.services[%d].name", i), KindService, x.Name})
	}
	if s.Priority != "" {
		l = append(l, Reference{"spec.priority", KindPriority, s.Priority})
	}
	return l
}

func upstreamReferences(r *Resource) []Reference {
	s, err := Decode[UpstreamSpec](r)
	if err != nil {
		return nil
	}
	var l []Reference
	for i, m := range s.Models {
		l = append(l, Reference{fmt.Sprintf("spec.models[%d]", i), KindModel, m})
	}
	return l
}
