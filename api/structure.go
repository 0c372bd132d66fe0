package api

import (
	"github.com/goccy/go-yaml/token"
)

// Limits on the structure of a document's text. They protect the parser, which
// is recursive and takes quadratic time in the number of entries of a mapping or
// list. A valid document has at most 8 nesting levels and at most 10 fields in a
// mapping.
const (
	maxFlowDepth    = 32
	maxBlockColumn  = 512
	maxFieldsPerMap = 64
	maxItemsPerList = 2 * MaxQueues
)

const (
	msgUnsupportedSyntax = "anchors, aliases, merge keys, tags and explicit keys are not allowed"
	msgTooDeep           = "the document nests too deep"
	msgTooManyFields     = "a mapping has too many fields"
	msgTooManyItems      = "a list has too many items"
)

// structureChecker scans the tokens of a text for structures that are too
// expensive to parse or decode.
type structureChecker struct {
	// flow is the stack of open flow collections, innermost last.
	flow []flowCollection
	// fieldCounts and itemCounts hold, for each column, the number of fields and
	// items of the block mapping or list that is open at that column.
	fieldCounts [maxBlockColumn + 1]int
	itemCounts  [maxBlockColumn + 1]int
	// maxColumn is the largest column whose counts may be non-zero.
	maxColumn int
}

// flowCollection is a flow mapping or flow sequence that is not yet closed.
type flowCollection struct {
	mapping bool
	entries int
}

// checkStructure returns the first structural fault in tokens.
func checkStructure(tokens token.Tokens) (Fault, bool) {
	s := &structureChecker{}
	for _, tk := range tokens {
		if msg := s.check(tk); msg != "" {
			return Fault{Path: position(tk), Message: msg}, true
		}
	}
	return Fault{}, false
}

// check processes one token and returns a fault message, or "" if the token is
// allowed.
func (s *structureChecker) check(tk *token.Token) string {
	switch tk.Type {
	case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.MappingKeyType:
		return msgUnsupportedSyntax
	case token.MappingStartType, token.SequenceStartType:
		s.flow = append(s.flow, flowCollection{mapping: tk.Type == token.MappingStartType})
		if len(s.flow) > maxFlowDepth {
			return msgTooDeep
		}
	case token.MappingEndType, token.SequenceEndType:
		if len(s.flow) > 0 {
			s.flow = s.flow[:len(s.flow)-1]
		}
	case token.CollectEntryType:
		return s.countFlowEntry()
	case token.MappingValueType:
		return s.countBlockField(tk)
	case token.SequenceEntryType:
		return s.countBlockItem(tk)
	}
	return ""
}

// countFlowEntry counts an entry of the innermost flow collection.
func (s *structureChecker) countFlowEntry() string {
	if len(s.flow) == 0 {
		return ""
	}
	innermost := &s.flow[len(s.flow)-1]
	innermost.entries++
	if innermost.mapping && innermost.entries > maxFieldsPerMap {
		return msgTooManyFields
	}
	if innermost.entries > maxItemsPerList {
		return msgTooManyItems
	}
	return ""
}

// countBlockField counts a field of the block mapping at the column of its key.
// The field closes all block collections further right and any list at the same
// column.
func (s *structureChecker) countBlockField(tk *token.Token) string {
	if len(s.flow) > 0 {
		return ""
	}
	column := tk.Position.Column
	if tk.Prev != nil && tk.Prev.Position.Line == tk.Position.Line {
		column = tk.Prev.Position.Column
	}
	if column > maxBlockColumn {
		return msgTooDeep
	}
	s.resetRightOf(column)
	s.itemCounts[column] = 0
	s.fieldCounts[column]++
	if s.fieldCounts[column] > maxFieldsPerMap {
		return msgTooManyFields
	}
	return ""
}

// countBlockItem counts an item of the block list at its column. The item closes
// all block collections further right.
func (s *structureChecker) countBlockItem(tk *token.Token) string {
	column := tk.Position.Column
	if len(s.flow) > 0 {
		return ""
	}
	if column > maxBlockColumn {
		return msgTooDeep
	}
	s.resetRightOf(column)
	s.itemCounts[column]++
	if s.itemCounts[column] > maxItemsPerList {
		return msgTooManyItems
	}
	return ""
}

// resetRightOf clears the counts of all columns greater than column.
func (s *structureChecker) resetRightOf(column int) {
	for c := s.maxColumn; c > column; c-- {
		s.fieldCounts[c] = 0
		s.itemCounts[c] = 0
	}
	s.maxColumn = column
}
