package api

import (
	"github.com/goccy/go-yaml/token"
)

// Bounds on the structure of a document's text. A valid document nests 8 deep
// and has at most 10 fields in one mapping. The parser is recursive, and takes
// time that grows with the square of the entries of one mapping or list.
const (
	maxFlowDepth    = 32
	maxBlockColumn  = 512
	maxFieldsPerMap = 64
	maxItemsPerList = 2 * MaxQueues
)

const (
	faultReferences = "anchors, aliases, merge keys, tags and explicit keys are not allowed"
	faultDepth      = "the document nests too deep"
	faultFields     = "a mapping has too many fields"
	faultItems      = "a list has too many items"
)

// structure follows the tokens of a text and finds what would make parsing or
// decoding costly.
type structure struct {
	flow []flowLevel
	// keys and items count, for each column, the fields and list items of the
	// block mapping or list that is open there.
	keys  [maxBlockColumn + 1]int
	items [maxBlockColumn + 1]int
	// deepest is the largest column with a count.
	deepest int
}

// flowLevel is one open "{" or "[".
type flowLevel struct {
	mapping bool
	entries int
}

// tokenFault returns the first structural fault of a text.
func tokenFault(tokens token.Tokens) (Fault, bool) {
	s := &structure{}
	for _, tk := range tokens {
		if msg := s.next(tk); msg != "" {
			return Fault{Path: position(tk), Message: msg}, true
		}
	}
	return Fault{}, false
}

// next takes one token and returns the fault that it makes, if any.
func (s *structure) next(tk *token.Token) string {
	switch tk.Type {
	case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.MappingKeyType:
		return faultReferences
	case token.MappingStartType, token.SequenceStartType:
		s.flow = append(s.flow, flowLevel{mapping: tk.Type == token.MappingStartType})
		if len(s.flow) > maxFlowDepth {
			return faultDepth
		}
	case token.MappingEndType, token.SequenceEndType:
		if len(s.flow) > 0 {
			s.flow = s.flow[:len(s.flow)-1]
		}
	case token.CollectEntryType:
		return s.flowEntry()
	case token.MappingValueType:
		return s.blockKey(tk)
	case token.SequenceEntryType:
		return s.blockItem(tk)
	}
	return ""
}

// flowEntry counts an entry of the innermost "{" or "[".
func (s *structure) flowEntry() string {
	if len(s.flow) == 0 {
		return ""
	}
	level := &s.flow[len(s.flow)-1]
	level.entries++
	if level.mapping && level.entries > maxFieldsPerMap {
		return faultFields
	}
	if level.entries > maxItemsPerList {
		return faultItems
	}
	return ""
}

// blockKey counts a field of the block mapping at the column of its key, and
// ends what was open further right, and a list at the same column.
func (s *structure) blockKey(tk *token.Token) string {
	if len(s.flow) > 0 {
		return ""
	}
	column := tk.Position.Column
	if tk.Prev != nil && tk.Prev.Position.Line == tk.Position.Line {
		column = tk.Prev.Position.Column
	}
	if column > maxBlockColumn {
		return faultDepth
	}
	s.close(column)
	s.items[column] = 0
	s.keys[column]++
	if s.keys[column] > maxFieldsPerMap {
		return faultFields
	}
	return ""
}

// blockItem counts an item of the block list at its column and ends what was
// open further right.
func (s *structure) blockItem(tk *token.Token) string {
	column := tk.Position.Column
	if len(s.flow) > 0 {
		return ""
	}
	if column > maxBlockColumn {
		return faultDepth
	}
	s.close(column)
	s.items[column]++
	if s.items[column] > maxItemsPerList {
		return faultItems
	}
	return ""
}

// close forgets what is open to the right of column.
func (s *structure) close(column int) {
	for c := s.deepest; c > column; c-- {
		s.keys[c] = 0
		s.items[c] = 0
	}
	s.deepest = column
}
