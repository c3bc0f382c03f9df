package registrar

import "slices"

// WithoutModel returns a copy of the models without the named model or, if an
// adapter is named, without that adapter of the model.
func WithoutModel(models []Model, model, adapter string) []Model {
	out := make([]Model, 0, len(models))
	for _, m := range models {
		switch {
		case m.Name != model:
			out = append(out, m)
		case adapter != "":
			m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == adapter })
			out = append(out, m)
		}
	}
	return out
}

// WithAdapter returns a copy of the models with an adapter added to the named model.
func WithAdapter(models []Model, model, adapter string) []Model {
	out := slices.Clone(models)
	for i, m := range out {
		if m.Name == model && !slices.Contains(m.Adapters, adapter) {
			out[i].Adapters = append(slices.Clone(m.Adapters), adapter)
		}
	}
	return out
}
