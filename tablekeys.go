package egretflow

// Keys of the tables in the store. Both are written in the same transaction,
// so the head always describes the document.
const (
	TablesDocumentKey = "Tables/Document"
	// TablesHeadKey holds a TablesHead, which is cheap to read often.
	TablesHeadKey = "Tables/Head"
)

// TablesHead tells which revision of the tables the store holds.
type TablesHead struct {
	Revision Revision
	EditID   string
}
